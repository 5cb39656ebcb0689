#!/usr/bin/env node
// The operators' command. The service itself is started as deploy/service.toml says.
import { runCommand } from '@leverhatch/operators/command';
import { rolloutCommand } from '@leverhatch/rollout/command';
import { sharesCommand } from '@leverhatch/shares/command';

process.exitCode = await runCommand([sharesCommand, rolloutCommand], process.argv.slice(2), {
  out: (text) => console.log(text),
  error: (text) => console.error(text),
});
