export { default as Caller } from './Caller.js';
export { DEPLOYMENTS, readContracts } from './Deployment.js';
export { default as Fleet } from './Fleet.js';
export { default as publishContracts } from './publishContracts.js';
export { runConcurrently, sendMixedLoad } from './sendMixedLoad.js';
