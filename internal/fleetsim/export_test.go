package fleetsim

// LoseStore replaces the content of the store by a copy of the present one, which no process
// writes again until ReturnStore.
func (w *World) LoseStore() {
	lost := w.readStore()
	w.restores.lost = &lost
}

// ReturnStore ends the effect of LoseStore.
func (w *World) ReturnStore() { w.restores.lost = nil }

// AgentStarts returns how often the agent was started.
func (i *Instance) AgentStarts() int { return i.generation }
