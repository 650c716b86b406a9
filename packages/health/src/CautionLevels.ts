/**
 * Thresholds for each ejection caution of a contract. A score is a sum of log-likelihood ratios
 * (natural logarithms): at a score of 4.6 the evidence is a hundred times likelier from an
 * unhealthy target than from a healthy one.
 */
import type { EjectionCaution } from '@cactusrun/core';

export interface CautionLevel {
  /** Score from which a target is deprioritized. */
  readonly steerScore: number;
  /** Score from which an ejection lease is claimed. */
  readonly ejectScore: number;
}

export const CAUTION_LEVELS: Readonly<Record<EjectionCaution, CautionLevel>> = {
  swift: { steerScore: 6, ejectScore: 10 },
  balanced: { steerScore: 7.5, ejectScore: 13 },
  careful: { steerScore: 9.2, ejectScore: 16 },
};
