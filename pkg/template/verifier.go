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

// NewVerifier derives a verifier from a password and a random salt.
func NewVerifier(password string) (Verifier, error) {
	salt := make([]byte, verifierSaltBytes)
	if _, err := rand.Read(salt); err != nil {
		return Verifier{}, fmt.Errorf("generate salt: %w", err)
	}
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return Verifier{}, fmt.Errorf("prepare password: %w", err)
	}
	keys := scram.KeyFactors{Salt: string(salt), Iters: verifierIterations}
	sc, err := c.GetStoredCredentialsWithError(keys)
	if err != nil {
		return Verifier{}, fmt.Errorf("derive keys: %w", err)
	}
	return Verifier{Salt: salt, Iterations: verifierIterations, StoredKey: sc.StoredKey, ServerKey: sc.ServerKey}, nil
}

// Credentials converts the verifier for the SCRAM library.
func (v Verifier) Credentials() scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey,
		ServerKey:  v.ServerKey,
	}
}
