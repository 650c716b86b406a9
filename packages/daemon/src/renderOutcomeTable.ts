/** Generates the callers' reference page of outcomes from OUTCOME_RULES. */
import { OUTCOME_RULES } from '@cactusrun/core';

/** Returns the page as Markdown. */
export default function renderOutcomeTable(): string {
  const rows = Object.entries(OUTCOME_RULES).map(
    ([reason, rule]) =>
      `| \`${reason}\` | ${rule.kind} | ${reason === 'answered' ? "the upstream's own" : rule.status} | ${
        rule.advice
      } | ${rule.retryAfterSeconds > 0 ? rule.retryAfterSeconds : ''} | ${rule.meaning} |`,
  );
  return [
    '# The table of outcomes',
    '',
    'Generated from the code by `npm run generate:reference`; do not edit. [OUTCOMES.md](OUTCOMES.md)',
    'explains how to use it.',
    '',
    '| reason (`Cactusrun-Reason`) | outcome (`Cactusrun-Outcome`) | status | `Cactusrun-Retry` | `Retry-After` (s) | meaning |',
    '| --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
