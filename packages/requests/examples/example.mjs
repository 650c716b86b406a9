/* eslint-disable no-console */
import { Counters, systemClock } from '@cactusrun/core';
import { TicketIssuer, TicketLedger } from '@cactusrun/requests';

const issuer = new TicketIssuer('host-1', 'incarnation-1');
const ledger = new TicketLedger(systemClock, new Counters());
const ticket = issuer.issue(systemClock.now());
console.log(issuer.isOwn(ticket), ledger.admit(ticket, { requestKey: 'POST /orders' }).kind);
console.log(ledger.admit(ticket, { requestKey: 'POST /orders' }).kind);
