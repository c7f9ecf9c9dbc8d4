package base

import "os"

// Environment variables with the credentials for the platform's services. The names are those that
// the platform's own tools use. Credentials are not part of the settings file, because it is shown to
// operators and stored with the deployment.
const (
	variableID     = "AWS_ACCESS_KEY_ID"
	variableSecret = "AWS_SECRET_ACCESS_KEY"
	// noCredentials is used if a variable is not set, for platforms that check no credentials,
	// such as the stand-ins.
	noCredentials = "none"
)

func credentials() (id, secret string) {
	return envOrDefault(variableID), envOrDefault(variableSecret)
}

func envOrDefault(name string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return noCredentials
}
