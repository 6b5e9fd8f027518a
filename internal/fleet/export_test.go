package fleet

// EncodeFlows encodes flows as an entry saves them in the store.
var EncodeFlows = encodeFlows
