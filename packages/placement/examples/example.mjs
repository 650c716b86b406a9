/* eslint-disable no-console */
import { createScorer, placeKey } from '@cactusrun/placement';

const scorer = await createScorer();
console.log(placeKey(scorer, 'orders/west-a/0', ['host-1', 'host-2', 'host-3']));
