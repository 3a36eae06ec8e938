package serverview

import "container/list"

// maximumHints bounds the prefixes whose server is remembered.
const maximumHints = 8192

// hintTable remembers which server was last sent a prompt with a given prefix,
// least recently used forgotten first. It is a hint: routing only ever lowers
// an estimate by it.
type hintTable struct {
	order *list.List
	byKey map[uint64]*list.Element
}

type hint struct {
	prefix uint64
	server string
}

func newHintTable() *hintTable {
	return &hintTable{order: list.New(), byKey: make(map[uint64]*list.Element)}
}

func (t *hintTable) remember(prefix uint64, server string) {
	if element := t.byKey[prefix]; element != nil {
		*element.Value.(*hint) = hint{prefix: prefix, server: server}
		t.order.MoveToFront(element)
		return
	}
	t.byKey[prefix] = t.order.PushFront(&hint{prefix: prefix, server: server})
	if t.order.Len() > maximumHints {
		oldest := t.order.Back()
		delete(t.byKey, oldest.Value.(*hint).prefix)
		t.order.Remove(oldest)
	}
}

func (t *hintTable) find(prefix uint64) (server string, ok bool) {
	element := t.byKey[prefix]
	if element == nil {
		return "", false
	}
	return element.Value.(*hint).server, true
}

// forget drops a prefix that a server evicted.
func (t *hintTable) forget(prefix uint64, server string) {
	element := t.byKey[prefix]
	if element == nil || element.Value.(*hint).server != server {
		return
	}
	delete(t.byKey, prefix)
	t.order.Remove(element)
}
