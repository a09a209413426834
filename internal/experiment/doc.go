// Package experiment measures whole deployments of stand-ins and entry hosts.
//
// # Usage
//
//	r, err := experiment.Gap(deploy.Bathafarn(), experiment.Kill, 1)
package experiment
