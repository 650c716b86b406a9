#!/usr/bin/env node
// Exists before the build, so that npm can link it; src/cactusrund.ts is compiled to the imported file.
import '../dist/cactusrund.js';
