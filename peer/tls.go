package peer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"mangoloft/certs"
)

// transportCredentials returns the credentials for incoming and outgoing connections
// between peers. With TLS, each side must present a certificate for its address that
// is signed by a trusted authority.
func transportCredentials(files certs.Files) (server, client credentials.TransportCredentials, err error) {
	if !files.Enabled() {
		return insecure.NewCredentials(), insecure.NewCredentials(), nil
	}
	source, err := certs.NewSource(files)
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(source.ServerConfig("h2")), rotatingCredentials{credentials.NewTLS(source.ClientConfig()), source}, nil
}

// rotatingCredentials secures each new connection with the current certificates, so
// that they can be replaced without a restart.
type rotatingCredentials struct {
	credentials.TransportCredentials
	source *certs.Source
}

// ClientHandshake implements credentials.TransportCredentials.
func (r rotatingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.source.ClientConfig()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (r rotatingCredentials) Clone() credentials.TransportCredentials {
	return rotatingCredentials{r.TransportCredentials.Clone(), r.source}
}
