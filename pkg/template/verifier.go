package template

import (
	"crypto/rand"
	"fmt"

	"github.com/xdg-go/scram"
)

const (
	verifierIterations = 4096
	verifierSaltBytes  = 16
)

// NewVerifier derives a verifier from a password with a random salt.
func NewVerifier(password string) (Verifier, error) {
	salt := make([]byte, verifierSaltBytes)
	if _, err := rand.Read(salt); err != nil {
		return Verifier{}, fmt.Errorf("salt: %w", err)
	}
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	keys := scram.KeyFactors{Salt: string(salt), Iters: verifierIterations}
	sc, err := c.GetStoredCredentialsWithError(keys)
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	return Verifier{Salt: salt, Iterations: verifierIterations, StoredKey: sc.StoredKey, ServerKey: sc.ServerKey}, nil
}

// Credentials returns the verifier in the form that the SCRAM library takes.
func (v Verifier) Credentials() scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey,
		ServerKey:  v.ServerKey,
	}
}
