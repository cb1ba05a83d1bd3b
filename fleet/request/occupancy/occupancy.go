// Package occupancy divides the requests that a VM can hold at once among client accounts.
//
// It answers a load in which the load balancer sends all callers of an account to one VM, and their
// retries too. A fixed part for each account then refuses that account's requests while the VM has
// room that nobody else uses, and the account falls far behind those whose callers are spread over
// many VMs.
package occupancy

// reserveDivisor divides the requests of a VM to give the number that stays free for accounts that
// hold few: the next account to send requests finds room at once, however much another one holds.
const reserveDivisor = 8

// Limit returns the number of requests that one account may hold at a VM which can hold total,
// while the other accounts hold heldByOthers. It is what the others and the reserve leave, and at
// least guaranteed, so that an account above it gives way to others as they come.
func Limit(total, guaranteed, heldByOthers int) int {
	return max(guaranteed, total-max(total/reserveDivisor, 1)-heldByOthers, 1)
}
