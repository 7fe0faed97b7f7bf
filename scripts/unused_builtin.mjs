// Stands in the bundle for modules of Node.js that libraries load but that the
// daemon never uses (HTTP/2, TLS, compression, worker clusters). Loading them
// takes a fifth of the start-up.
export const constants = {};
export const isWorker = false;
export const isPrimary = true;
export default {constants, isWorker, isPrimary};
