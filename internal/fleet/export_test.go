package fleet

// EncodeFlows encodes flows as an entry saves them in the store.
var EncodeFlows = encodeFlows

// HeartbeatBody is heartbeatBody.
func HeartbeatBody(changes map[string]any) string { return heartbeatBody(changes) }
