/**
 * A daemon passes a large answer without a length on to a client, in the same form, and is stopped as
 * planned. At the end of its time it closes the connection in the ordinary way, as it does at the end
 * of a whole answer without a length.
 */
import playCutAnswer from '../lib/playCutAnswer.mjs';

await playCutAnswer(import.meta.url, 'SIGTERM');
