#!/usr/bin/env node
// npm links this file at install time, before src/cactusrun.ts has been compiled to dist.
import '../dist/cactusrun.js';
