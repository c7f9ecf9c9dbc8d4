package fairqueue

import "container/heap"

// indexedHeap is a heap whose members store their index, so that any of them can be moved or
// removed in logarithmic time.
type indexedHeap[T any] struct {
	members []T
	less    func(a, b T) bool
	index   func(T) *int // where the member stores its index; -1 when not in the heap
}

func (o *indexedHeap[T]) Len() int           { return len(o.members) }
func (o *indexedHeap[T]) Less(i, j int) bool { return o.less(o.members[i], o.members[j]) }

func (o *indexedHeap[T]) Swap(i, j int) {
	o.members[i], o.members[j] = o.members[j], o.members[i]
	*o.index(o.members[i]) = i
	*o.index(o.members[j]) = j
}

// Push implements heap.Interface.
func (o *indexedHeap[T]) Push(x any) {
	member := x.(T)
	*o.index(member) = len(o.members)
	o.members = append(o.members, member)
}

// Pop implements heap.Interface.
func (o *indexedHeap[T]) Pop() any {
	last := len(o.members) - 1
	member := o.members[last]
	var none T
	o.members[last] = none
	o.members = o.members[:last]
	*o.index(member) = -1
	return member
}

func (o *indexedHeap[T]) top() T { return o.members[0] }

// put adds the member, or restores the order after the member changed.
func (o *indexedHeap[T]) put(member T) {
	if i := *o.index(member); i >= 0 {
		heap.Fix(o, i)
		return
	}
	heap.Push(o, member)
}

func (o *indexedHeap[T]) remove(member T) {
	if i := *o.index(member); i >= 0 {
		heap.Remove(o, i)
	}
}
