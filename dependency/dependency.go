// Package dependency pins modules until each is used.
package dependency

//nolint:revive // Blank imports keep go.mod complete while packages are added.
import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/gofiber/fiber/v3/middleware/adaptor"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/samber/do/v2"
	_ "github.com/samber/lo"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/zap"
	_ "pgregory.net/rapid"
)
