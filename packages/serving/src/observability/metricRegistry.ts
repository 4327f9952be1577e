/**
 * A Prometheus registry with gauges that are evaluated on each scrape.
 *
 * @module
 */
import { Gauge, Registry } from 'prom-client'

/** The metrics of one process. */
export class MetricRegistry {
  /** Passed to the counters and histograms that the owner creates. */
  readonly registers: [Registry] = [new Registry()]

  static create (): MetricRegistry {
    return new MetricRegistry()
  }

  get contentType (): string {
    return this.registers[0].contentType
  }

  /** Returns all metrics as text. */
  async format (): Promise<string> {
    return await this.registers[0].metrics()
  }

  /** Adds a gauge whose value is read on each scrape. */
  addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: this.registers, collect: () => gauge.set(read()) })
  }

  /** Adds a gauge with one value for each value of a label, which are read on each scrape. */
  addLabeledGauge (name: string, help: string, label: string, read: () => ReadonlyMap<string, number>): void {
    const setAll = (): void => { for (const [value, count] of read()) gauge.set({ [label]: value }, count) }
    const gauge: Gauge = new Gauge({ name, help, labelNames: [label], registers: this.registers, collect: setAll })
  }
}
