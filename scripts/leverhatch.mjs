#!/usr/bin/env node
// The operators' command. The service itself is started as deploy/service.toml says.
import { runCommand } from '@leverhatch/shares/command';

process.exitCode = await runCommand(process.argv.slice(2), {
  out: (text) => console.log(text),
  error: (text) => console.error(text),
});
