package bvstandin

import (
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmodel"
)

// modelTime is the clock of an engine's model. It runs slower than real time when the
// engine has the slow fault.
type modelTime struct {
	real     bvclock.Time
	model    float64
	slowdown float64
}

func (modelTime *modelTime) now(real bvclock.Time) bvclock.Time {
	modelTime.model += float64(real.Sub(modelTime.real)) / modelTime.slowdownFactor()
	modelTime.real = real
	return bvclock.Time(modelTime.model)
}

func (modelTime *modelTime) slowdownFactor() float64 {
	return max(modelTime.slowdown, 1)
}

// submit submits a call to the model. The caller holds the engine's mutex.
func (engine *Engine) submit(stream *stream, priority int) {
	engine.lastCall++
	stream.call = engine.lastCall
	engine.calls[stream.call] = stream
	engine.stats.Calls++
	if engine.config.Instant {
		engine.completeInstantly(stream)
		return
	}
	now := engine.time.now(engine.clock.Now())
	engine.model.Submit(now, bvmodel.Call{
		ID:           stream.call,
		Salt:         stream.key.salt,
		Prefix:       stream.key.prefix,
		PromptTokens: stream.prompt.tokens,
		PrefixTokens: commonPrefixTokens(engine.cachedMessages[stream.key], stream.prompt.messages),
		OutputTokens: stream.totalTokens,
		Priority:     priority,
	})
	engine.advance()
	if engine.loopRunning {
		engine.wakeUp()
		return
	}
	engine.loopRunning = true
	go engine.runModel()
}

func (engine *Engine) completeInstantly(stream *stream) {
	if stream.poisoned {
		engine.crash()
		return
	}
	stream.producedTokens = stream.totalTokens
	engine.finishStream(stream)
}

func (engine *Engine) wakeUp() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// runModel advances the model until it is idle.
func (engine *Engine) runModel() {
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

// step advances the model to the current time and returns how long to wait until the
// next event or token, and whether the model is busy.
func (engine *Engine) step() (pause time.Duration, busy bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.advance()
	next, busy := engine.model.Next()
	if !busy {
		engine.loopRunning = false
		return 0, false
	}
	now := engine.time.now(engine.clock.Now())
	untilEvent := float64(next.Sub(now))
	untilToken := 1000 / engine.model.Config().DecodeTokensPerSecond
	milliseconds := max(1, min(untilEvent, untilToken)*engine.time.slowdownFactor())
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}

// advance advances the model to the current time and applies its events and produced
// tokens to the streams.
func (engine *Engine) advance() {
	now := engine.time.now(engine.clock.Now())
	for _, event := range engine.model.Advance(now) {
		if engine.handleEvent(event) {
			return
		}
	}
	for id, stream := range engine.calls {
		stream.produce(engine.model.ProducedTokens(id))
	}
	engine.recordLoad()
}

// handleEvent applies one event of the model and reports whether it crashed the engine.
func (engine *Engine) handleEvent(event bvmodel.Event) bool {
	if event.Kind == bvmodel.Evicted {
		engine.dropPrefix(cacheKey{event.Salt, event.Prefix}, event.Kind.String(), event.CachedTokens)
		return false
	}
	stream := engine.calls[event.Call]
	if stream == nil {
		return false
	}
	switch event.Kind {
	case bvmodel.Started:
		stream.cachedTokens = event.CachedTokens
		if stream.poisoned {
			engine.crash()
			return true
		}
	case bvmodel.Finished:
		stream.producedTokens = stream.totalTokens
		engine.finishStream(stream)
	}
	return false
}

// finishStream ends a stream that has produced all its tokens and publishes its prefix
// as cached.
func (engine *Engine) finishStream(stream *stream) {
	delete(engine.calls, stream.call)
	stream.end(streamFinished)
	if stream.key.prefix == "" || engine.config.Instant {
		return
	}
	engine.cachedMessages[stream.key] = append(stream.prompt.messages, answerMessage(stream.text()))
	engine.publish("cached", stream.key, engine.model.CachedPrefixTokens(stream.key.salt, stream.key.prefix))
}

// dropPrefix removes a prefix that is no longer cached and publishes the event.
func (engine *Engine) dropPrefix(key cacheKey, kind string, tokens int) {
	delete(engine.cachedMessages, key)
	engine.publish(kind, key, tokens)
}

// cancelUnread cancels and removes a stream that has no reader. It does nothing if the
// stream has had a new reader since the cancellation was scheduled.
func (engine *Engine) cancelUnread(stream *stream, totalReaders int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if stream.readers > 0 || stream.totalReaders != totalReaders {
		return
	}
	engine.cancelStream(stream)
	if engine.streams[stream.id] == stream {
		delete(engine.streams, stream.id)
	}
}

// cancelStream cancels a stream if it is still running.
func (engine *Engine) cancelStream(stream *stream) {
	if stream.state != streamRunning {
		return
	}
	engine.model.Cancel(engine.time.now(engine.clock.Now()), stream.call)
	delete(engine.calls, stream.call)
	engine.stats.Canceled++
	stream.end(streamCanceled)
	engine.wakeUp()
}

// crash loses all calls and cached prefixes and restarts the engine under a new
// incarnation.
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
