// Package withdrawal holds what a backend server has said in its answers about not taking
// requests: that it leaves, or that it wants none for some time. It uses no network and no
// clock.
package withdrawal
