package http2

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
)

// Client is a block client of the frontend's settings: it lets the holder of a certificate submit jobs of accounts.
type Client struct {
	Label    string   `hcl:"label,label"`
	Names    []string `hcl:"names"`    // DNS names or URIs of the certificate, or the common name if it has neither
	Accounts []string `hcl:"accounts"` // values of Req-Owner
}

// grants has the accounts whose jobs a client may submit, by the names of its certificate.
type grants map[string][]string

func newGrants(clients []Client) grants {
	g := grants{}
	for _, client := range clients {
		for _, name := range client.Names {
			g[name] = append(g[name], client.Accounts...)
		}
	}
	return g
}

// permits reports whether the verified certificate of a connection is granted an account.
func (g grants) permits(state tls.ConnectionState, account string) bool {
	if len(state.VerifiedChains) == 0 || account == "" {
		return false
	}
	return slices.ContainsFunc(certificateNames(state.PeerCertificates[0]), func(name string) bool {
		return slices.Contains(g[name], account)
	})
}

// certificateNames returns the names of a certificate by which grants are looked up.
func certificateNames(certificate *x509.Certificate) []string {
	names := slices.Clone(certificate.DNSNames)
	for _, uri := range certificate.URIs {
		names = append(names, uri.String())
	}
	if len(names) == 0 && certificate.Subject.CommonName != "" {
		names = append(names, certificate.Subject.CommonName)
	}
	return names
}
