// Package abuse has the tests of entry hosts under misbehaving clients. They run the
// project's programs as processes and check only what does not depend on the speed of the
// machine: that the process lives, that its memory and its descriptors stay within the limits
// of its settings, and that an ordinary request is answered.
package abuse
