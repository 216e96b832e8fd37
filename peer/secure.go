package peer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"mangoloft/certs"
)

// secrecy returns the credentials of both sides of the links between peers.
// With TLS, each side must show a certificate of the authority for its address.
func secrecy(files certs.Files) (server, client credentials.TransportCredentials, err error) {
	if !files.Enabled() {
		return insecure.NewCredentials(), insecure.NewCredentials(), nil
	}
	source, err := certs.NewSource(files)
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(source.Server("h2")), rotating{credentials.NewTLS(source.Client()), source}, nil
}

// rotating secures each new connection with the certificates of its time.
type rotating struct {
	credentials.TransportCredentials
	source *certs.Source
}

// ClientHandshake implements credentials.TransportCredentials.
func (r rotating) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.source.Client()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (r rotating) Clone() credentials.TransportCredentials {
	return rotating{r.TransportCredentials.Clone(), r.source}
}
