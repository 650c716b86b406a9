#!/usr/bin/env node
// The program is built from src/cactusrun.ts; npm links this file before it is.
import '../dist/cactusrun.js';
