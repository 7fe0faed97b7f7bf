// Replaces the package undici in the bundle. Only its client is used, and the rest
// of the package takes as long to load as all other modules together.
export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';
