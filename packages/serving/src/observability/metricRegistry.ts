/**
 * A registry of metrics whose gauges are read when metrics are asked for.
 *
 * @module
 */
import { Gauge, Registry } from 'prom-client'

/** The metrics of one process. */
export class MetricRegistry {
  /** For the counters and histograms of the owner. */
  readonly registers: [Registry] = [new Registry()]

  static create (): MetricRegistry {
    return new MetricRegistry()
  }

  get contentType (): string {
    return this.registers[0].contentType
  }

  async format (): Promise<string> {
    return await this.registers[0].metrics()
  }

  addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: this.registers, collect: () => gauge.set(read()) })
  }
}
