/** Names of header fields towards targets, for tests. */
import type { TargetFieldNames } from '../../connections/TargetAttempt.js';

const TARGET_FIELD_NAMES: TargetFieldNames = {
  attemptId: 'X-Attempt',
  deadline: 'X-Deadline',
  expectedTarget: 'X-Expected',
  notRun: 'X-Not-Run',
  load: 'X-Load',
  rateLimit: 'X-Rate-Limit',
  leaving: 'X-Leaving',
  signature: 'X-Signature',
  workspace: 'X-Workspace',
};

export default TARGET_FIELD_NAMES;
