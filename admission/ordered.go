package admission

import "container/heap"

// ordered is a binary heap whose elements store their positions in it, so that any
// element can be removed in logarithmic time.
type ordered[T any] struct {
	elements []T
	before   func(a, b T) bool
	position func(element T) *int // returns where an element stores its position
}

func (o *ordered[T]) Len() int { return len(o.elements) }

func (o *ordered[T]) Less(i, j int) bool { return o.before(o.elements[i], o.elements[j]) }

func (o *ordered[T]) Swap(i, j int) {
	o.elements[i], o.elements[j] = o.elements[j], o.elements[i]
	*o.position(o.elements[i]) = i
	*o.position(o.elements[j]) = j
}

// Push implements heap.Interface. Use add instead.
func (o *ordered[T]) Push(x any) {
	element := x.(T)
	*o.position(element) = len(o.elements)
	o.elements = append(o.elements, element)
}

// Pop implements heap.Interface. Use remove instead.
func (o *ordered[T]) Pop() any {
	last := len(o.elements) - 1
	element := o.elements[last]
	var zero T
	o.elements[last] = zero
	o.elements = o.elements[:last]
	return element
}

func (o *ordered[T]) add(element T) { heap.Push(o, element) }

func (o *ordered[T]) remove(element T) { heap.Remove(o, *o.position(element)) }

func (o *ordered[T]) fix(element T) { heap.Fix(o, *o.position(element)) }

func (o *ordered[T]) first() T { return o.elements[0] }

// countWhile counts the elements, up to limit, for which matches returns true. If
// matches returns false for an element, it must do so for all later elements in the
// order of the heap. Therefore countWhile visits only about twice as many elements as
// it counts.
func (o *ordered[T]) countWhile(limit int, matches func(element T) bool) int {
	return o.countFrom(0, limit, matches)
}

func (o *ordered[T]) countFrom(root, limit int, matches func(element T) bool) int {
	if limit <= 0 || root >= len(o.elements) || !matches(o.elements[root]) {
		return 0
	}
	n := 1 + o.countFrom(2*root+1, limit-1, matches)
	return n + o.countFrom(2*root+2, limit-n, matches)
}
