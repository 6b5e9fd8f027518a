package fleet

// EncodeFlows is how an entry writes its flows.
var EncodeFlows = encodeFlows
