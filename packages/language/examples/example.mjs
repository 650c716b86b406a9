/* eslint-disable no-console */
import { parseScript } from '@cactusrun/language';

console.log(parseScript('SHOW TARGETS OF orders'));
