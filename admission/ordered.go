package admission

import "container/heap"

// indexedHeap is a binary heap whose elements store their positions in it, so that any
// element can be removed in logarithmic time.
type indexedHeap[T any] struct {
	elements []T
	before   func(a, b T) bool
	position func(element T) *int // returns where an element stores its position
}

func (h *indexedHeap[T]) Len() int { return len(h.elements) }

func (h *indexedHeap[T]) Less(i, j int) bool { return h.before(h.elements[i], h.elements[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.position(h.elements[i]) = i
	*h.position(h.elements[j]) = j
}

// Push implements heap.Interface. Use add instead.
func (h *indexedHeap[T]) Push(x any) {
	element := x.(T)
	*h.position(element) = len(h.elements)
	h.elements = append(h.elements, element)
}

// Pop implements heap.Interface. Use remove instead.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	return element
}

func (h *indexedHeap[T]) add(element T) { heap.Push(h, element) }

func (h *indexedHeap[T]) remove(element T) { heap.Remove(h, *h.position(element)) }

func (h *indexedHeap[T]) fix(element T) { heap.Fix(h, *h.position(element)) }

func (h *indexedHeap[T]) first() T { return h.elements[0] }

// countWhile counts the elements, up to limit, for which matches returns true. If
// matches returns false for an element, it must do so for all later elements in the
// order of the heap. Therefore countWhile visits only about twice as many elements as
// it counts.
func (h *indexedHeap[T]) countWhile(limit int, matches func(element T) bool) int {
	return h.countFrom(0, limit, matches)
}

func (h *indexedHeap[T]) countFrom(root, limit int, matches func(element T) bool) int {
	if limit <= 0 || root >= len(h.elements) || !matches(h.elements[root]) {
		return 0
	}
	n := 1 + h.countFrom(2*root+1, limit-1, matches)
	return n + h.countFrom(2*root+2, limit-n, matches)
}
