/**
 * The contract's one setting, worked out into thresholds. A score is a sum of log-likelihood
 * ratios (natural logarithms): at a threshold of 4.6 the evidence is a hundred times likelier from
 * a sick target than from a healthy one.
 */
import type { EjectionCaution } from '@cactusrun/core';

export interface CautionLevel {
  /** Score above which a target is steered around. */
  readonly steerScore: number;
  /** Score above which a share of the ejection budget is asked for. */
  readonly ejectScore: number;
}

export const CAUTION_LEVELS: Readonly<Record<EjectionCaution, CautionLevel>> = {
  swift: { steerScore: 6, ejectScore: 10 },
  balanced: { steerScore: 7.5, ejectScore: 13 },
  careful: { steerScore: 9.2, ejectScore: 16 },
};
