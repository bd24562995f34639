package fleet

// PriorityClasses is the number of classes into which priorities are grouped. Load and
// demand are exchanged by class, so that the size of datagrams does not depend on how many
// priorities a deployment uses.
const PriorityClasses = 4

// PriorityClass returns the class of a priority: 0, 1 and 2 have their own, most urgent
// first, and all higher priorities share the last. Priorities out of range are clamped.
func PriorityClass(priority int) int {
	return min(max(priority, 0), PriorityClasses-1)
}
