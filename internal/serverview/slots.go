package serverview

const noSlot = -1

// slotTable assigns slot numbers that don't change while other servers are
// added or removed. Released slots are reused.
type slotTable struct {
	free []int
	next int
}

func (t *slotTable) allocate() int {
	if last := len(t.free) - 1; last >= 0 {
		slot := t.free[last]
		t.free = t.free[:last]
		return slot
	}
	t.next++
	return t.next - 1
}

func (t *slotTable) release(slot int) {
	t.free = append(t.free, slot)
}

func (t *slotTable) size() int {
	return t.next
}
