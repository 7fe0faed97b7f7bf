// Stands for the package undici in the bundle: only its client is used, and the
// rest of the package takes as long to load as everything else together.
export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';
