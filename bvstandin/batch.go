package bvstandin

import (
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmodel"
)

// modelTime is the time of an engine's model, which goes slower than the real
// one when the engine is slow.
type modelTime struct {
	real  bvclock.Time
	model float64
	slow  float64
}

func (modelTime *modelTime) now(real bvclock.Time) bvclock.Time {
	modelTime.model += float64(real.Sub(modelTime.real)) / modelTime.factor()
	modelTime.real = real
	return bvclock.Time(modelTime.model)
}

func (modelTime *modelTime) factor() float64 {
	return max(modelTime.slow, 1)
}

// submit gives a call to the model. The engine's mutex is held.
func (engine *Engine) submit(stream *stream, priority int) {
	engine.lastCall++
	stream.call = engine.lastCall
	engine.calls[stream.call] = stream
	engine.stats.Calls++
	if engine.config.Instant {
		engine.answerAtOnce(stream)
		return
	}
	now := engine.time.now(engine.clock.Now())
	engine.model.Submit(now, bvmodel.Call{
		ID:           stream.call,
		Salt:         stream.key.salt,
		Prefix:       stream.key.prefix,
		PromptTokens: stream.prompt.tokens,
		PrefixTokens: shared(engine.held[stream.key], stream.prompt.messages),
		OutputTokens: stream.total,
		Priority:     priority,
	})
	engine.advance()
	if engine.running {
		engine.wakeUp()
		return
	}
	engine.running = true
	go engine.loop()
}

func (engine *Engine) answerAtOnce(stream *stream) {
	if stream.poisoned {
		engine.crash()
		return
	}
	stream.produced = stream.total
	engine.finish(stream)
}

func (engine *Engine) wakeUp() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// loop moves the model on until it is idle.
func (engine *Engine) loop() {
	for {
		pause, busy := engine.step()
		if !busy {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-engine.wake:
			timer.Stop()
		}
	}
}

// step moves the model to the present and tells how long nothing will change.
func (engine *Engine) step() (pause time.Duration, busy bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.advance()
	next, busy := engine.model.Next()
	if !busy {
		engine.running = false
		return 0, false
	}
	now := engine.time.now(engine.clock.Now())
	untilEvent := float64(next.Sub(now))
	untilToken := 1000 / engine.model.Config().DecodeTokensPerSecond
	milliseconds := max(1, min(untilEvent, untilToken)*engine.time.factor())
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}

// advance takes over what has happened in the model.
func (engine *Engine) advance() {
	now := engine.time.now(engine.clock.Now())
	for _, event := range engine.model.Advance(now) {
		if engine.take(event) {
			return
		}
	}
	for id, stream := range engine.calls {
		stream.produce(engine.model.ProducedTokens(id))
	}
	engine.report()
}

// take takes over one event and reports whether it crashed the engine.
func (engine *Engine) take(event bvmodel.Event) bool {
	if event.Kind == bvmodel.Evicted {
		engine.drop(cacheKey{event.Salt, event.Prefix}, event.Kind.String(), event.CachedTokens)
		return false
	}
	stream := engine.calls[event.Call]
	if stream == nil {
		return false
	}
	switch event.Kind {
	case bvmodel.Started:
		stream.cached = event.CachedTokens
		if stream.poisoned {
			engine.crash()
			return true
		}
	case bvmodel.Finished:
		stream.produced = stream.total
		engine.finish(stream)
	}
	return false
}

// finish ends a stream whose tokens are all out. Its prefix is cached now.
func (engine *Engine) finish(stream *stream) {
	delete(engine.calls, stream.call)
	stream.end(streamFinished)
	if stream.key.prefix == "" || engine.config.Instant {
		return
	}
	engine.held[stream.key] = append(stream.prompt.messages, answerMessage(stream.text()))
	engine.publish("cached", stream.key, engine.model.CachedPrefixTokens(stream.key.salt, stream.key.prefix))
}

// drop notes that a prefix is no longer cached.
func (engine *Engine) drop(key cacheKey, kind string, tokens int) {
	delete(engine.held, key)
	engine.publish(kind, key, tokens)
}

// abandon cancels a stream that nobody has read for a while, and forgets it.
func (engine *Engine) abandon(stream *stream, readings int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if stream.readers > 0 || stream.readings != readings {
		return
	}
	engine.stop(stream)
	if engine.streams[stream.id] == stream {
		delete(engine.streams, stream.id)
	}
}

// stop cancels a stream if it still runs.
func (engine *Engine) stop(stream *stream) {
	if stream.state != streamRunning {
		return
	}
	engine.model.Cancel(engine.time.now(engine.clock.Now()), stream.call)
	delete(engine.calls, stream.call)
	engine.stats.Canceled++
	stream.end(streamCanceled)
	engine.wakeUp()
}

// crash loses everything and starts anew under another incarnation.
func (engine *Engine) crash() {
	engine.stats.Crashes++
	if engine.config.OnCrash != nil {
		engine.config.OnCrash()
	}
	lost := engine.calls
	engine.downUntil = engine.clock.Now().Add(bvclock.Duration(engine.faults.RestartMS))
	engine.reset()
	for _, stream := range lost {
		stream.end(streamLost)
	}
	engine.wakeUp()
}
