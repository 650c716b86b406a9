/** Paths of the test files that `KNOWN-RED.txt` lists, relative to the root of the repository. */
export function listKnownRed(): readonly string[];
