/**
 * Log lines for people, with a fixed prefix for each part of a program.
 *
 * @module
 */
import loglevel from 'loglevel'

/** How much is logged. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

export const LOG_LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error', 'silent']

/** A logger of one part of a program. */
export type Logger = Pick<loglevel.Logger, 'debug' | 'info' | 'warn' | 'error'>

loglevel.methodFactory = (methodName, _level, loggerName) => {
  const prefix = `[${String(loggerName)}]`
  return (...parts: unknown[]) => process.stderr.write(`${new Date().toISOString()} ${methodName} ${prefix} ${parts.join(' ')}\n`)
}

/** Returns the logger whose lines start with `[part]`. */
export function getLogger (part: string): Logger {
  return loglevel.getLogger(part)
}

/** Sets the level of all loggers, also of those already created. */
export function setLogLevel (level: LogLevel): void {
  loglevel.setLevel(level, false)
  for (const logger of Object.values(loglevel.getLoggers())) logger.setLevel(level, false)
}
