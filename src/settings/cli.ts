/** Parses the command line. */
import { Command, CommanderError } from 'commander';

/** The parsed command line. */
export interface Arguments {
  /** The path of the deploy file. */
  config: string;
  /** The path of the operators' file; null if none is given. */
  operator: string | null;
  /** Validate the settings and exit. */
  check: boolean;
}

/**
 * Parses the command line; returns an exit code if there is nothing to run (help, version, usage
 * error).
 */
export function parseArguments(argv: string[], version: string): Arguments | number {
  const command = new Command('leverhatch')
    .description('A scheduler for fleets that serve language models')
    .version(version)
    .requiredOption('--config <file>', 'the settings file (TOML) that the platform hands over')
    .option('--operator <file>', "the operators' own settings (XML)")
    .option('--check', 'validate the settings and exit: 0 if they are sound, 2 if not', false)
    .exitOverride();
  try {
    command.parse(argv);
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? 0 : 2;
    throw error;
  }
  const options = command.opts<{ config: string; operator?: string; check: boolean }>();
  return { config: options.config, operator: options.operator ?? null, check: options.check };
}
