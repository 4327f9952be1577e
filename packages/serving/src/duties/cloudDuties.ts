/**
 * The work that exactly one gateway performs for the deployment: it reports usage to the cloud, orders
 * upstreams and carries out roll-outs.
 *
 * @module
 */
import type { BackgroundTasks, CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { DutyTask, KeyValueService } from '@plumstage/coordination'
import type { DeploymentDecoder } from '../deployment/deploymentDecoder.js'
import type { StoreObserver } from '../deployment/deploymentTask.js'
import { FleetTask } from '../fleet/fleetTask.js'
import { RolloutTask } from '../rollouts/rolloutTask.js'
import type { ServingSettings } from '../servingSettings.js'
import type { ServingState } from '../servingState.js'
import type { StoreKeys } from '../storeKeys.js'
import { UsageReportTask } from '../usage/usageReportTask.js'
import type { Cloud } from './cloud.js'

/** Dependencies of the tasks. */
export interface CloudDutiesOptions {
  duty: DutyTask
  cloud: Cloud
  store: KeyValueService
  keys: StoreKeys
  decoder: DeploymentDecoder
  state: ServingState
  settings: ServingSettings
  /** Maximum time after the end of a window for reporting it, which may change. */
  usageDelayMilliseconds: () => number
  clock: Clock
  timeOfDay: () => Timestamp
  instrumentation: Instrumentation
  tasks: BackgroundTasks
}

/** The tasks of the cloud duty at one gateway. */
export class CloudDuties {
  private readonly _duty: DutyTask
  private readonly _tasks: BackgroundTasks
  /** Undefined when the gateway reports no usage. */
  private readonly _usageReports: UsageReportTask | undefined
  /** Undefined when the gateway orders no upstreams. */
  private readonly _fleet: FleetTask | undefined
  private readonly _rollouts: RolloutTask

  private constructor (options: CloudDutiesOptions) {
    const { duty, settings, state, tasks } = options
    this._duty = duty
    this._tasks = tasks
    this._rollouts = RolloutTask.create(options)
    if (settings.ordersUpstreams) this._fleet = FleetTask.create({ ...options, holder: settings.name })
    if (!settings.reportsUsage) return
    this._usageReports = UsageReportTask.create({
      ...options,
      holder: settings.name,
      isFirstStart: settings.isFirstStart,
      ledger: state.usage,
      delayMilliseconds: options.usageDelayMilliseconds
    })
  }

  static create (options: CloudDutiesOptions): CloudDuties {
    return new CloudDuties(options)
  }

  /** Those of the tasks that follow the store. */
  get observers (): readonly StoreObserver[] {
    return this._usageReports ? [this._usageReports] : []
  }

  /** Starts the tasks; they end with the context. */
  start (context: CallContext): void {
    this._tasks.start('cloud-duty', context, async () => await this._duty.run(context))
    this._tasks.start('usage-reports', context, async () => await this._usageReports?.run(context))
    this._tasks.start('fleet', context, async () => await this._fleet?.run(context))
    this._tasks.start('rollouts', context, async () => await this._rollouts.run(context))
  }
}
