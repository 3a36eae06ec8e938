package serverview

// noSlot is the absence of a slot.
const noSlot = -1

// slotTable gives numbers to servers that stay the same while the servers
// around them come and go.
type slotTable struct {
	free []int
	next int
}

func (t *slotTable) take() int {
	if last := len(t.free) - 1; last >= 0 {
		slot := t.free[last]
		t.free = t.free[:last]
		return slot
	}
	t.next++
	return t.next - 1
}

func (t *slotTable) give(slot int) {
	t.free = append(t.free, slot)
}

func (t *slotTable) size() int {
	return t.next
}
