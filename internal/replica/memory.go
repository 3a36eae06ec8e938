package replica

// MemoryUse holds the sizes of the large contents of a host's memory, in bytes, without overhead.
type MemoryUse struct {
	// Log is the size of the log entries of each group.
	Log map[uint32]int64
	// Encoded, Sent and Received are the sizes of snapshots that are being saved, sent and received.
	Encoded, Sent, Received int64
}

// MemoryUse returns the sizes of the large contents of the host's memory. It is safe for concurrent use.
func (h *Host) MemoryUse() MemoryUse {
	use := MemoryUse{
		Log: make(map[uint32]int64), Encoded: h.encodedBytes.Load(), Sent: h.sentBytes.Load(), Received: h.receiver.heldBytes(),
	}
	for _, id := range h.log.Groups() {
		use.Log[id] = h.log.Group(id).HeldBytes()
	}
	return use
}

// heldBytes returns the size of the snapshots that have arrived in part.
func (r *receiver) heldBytes() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held := int64(0)
	for _, partial := range r.partials {
		held += int64(cap(partial.content))
	}
	return held
}
