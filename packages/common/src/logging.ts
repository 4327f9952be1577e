/**
 * Human-readable log lines, with a fixed prefix for each component of a program.
 *
 * @module
 */
import loglevel from 'loglevel'

/** Minimum severity of the messages that are logged. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

export const LOG_LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error', 'silent']

/** A logger of one component of a program. */
export type Logger = Pick<loglevel.Logger, 'debug' | 'info' | 'warn' | 'error'>

loglevel.methodFactory = (methodName, _level, loggerName) => {
  const prefix = `[${String(loggerName)}]`
  return (...messages: unknown[]) => process.stderr.write(`${new Date().toISOString()} ${methodName} ${prefix} ${messages.join(' ')}\n`)
}

/** Returns the logger of a component. Its lines carry the prefix `[component]`. */
export function getLogger (component: string): Logger {
  return loglevel.getLogger(component)
}

/** Sets the level of all loggers, including those already created. */
export function setLogLevel (level: LogLevel): void {
  loglevel.setLevel(level, false)
  for (const logger of Object.values(loglevel.getLoggers())) logger.setLevel(level, false)
}
