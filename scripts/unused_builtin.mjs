// Replaces built-in modules of Node.js in the bundle that libraries load but the
// daemon never uses (HTTP/2, TLS, compression, worker clusters). Loading them
// takes a fifth of the start-up time.
export const constants = {};
export const isWorker = false;
export const isPrimary = true;
export default {constants, isWorker, isPrimary};
