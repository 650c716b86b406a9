#!/usr/bin/env node
// The program is built from src/cactusrund.ts; npm links this file before it is.
import '../dist/cactusrund.js';
