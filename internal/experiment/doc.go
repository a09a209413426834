// Package experiment runs performance and failover measurements against complete
// deployments of entry hosts, with stand-ins for the platform and the endpoints.
//
// # Usage
//
//	r, err := experiment.Gap(deploy.Bathafarn(), experiment.Kill, 1)
package experiment
