"""Threads that run calls of peers."""

from collections.abc import Callable
import logging
import queue
import threading

logger = logging.getLogger(__name__)


class Workers:
    """Pool of threads without a queue: a task runs at once or is refused."""

    def __init__(self, limit: int, name: str):
        self._limit = limit
        self._name = name
        self._tasks: queue.SimpleQueue = queue.SimpleQueue()
        self._threads = 0
        self._running = 0
        self._lock = threading.Lock()

    def try_run(self, task: Callable[[], None]) -> bool:
        """Run a task on a thread; return False if all threads are busy."""
        with self._lock:
            if self._running >= self._limit:
                return False
            self._running += 1
            needs_thread = self._running > self._threads
            self._threads += needs_thread
        self._tasks.put(task)
        if needs_thread:
            threading.Thread(
                target=self._run,
                name=f"{self._name}-{self._threads}",
                daemon=True,
            ).start()
        return True

    def stop(self) -> None:
        """End the threads once they are idle."""
        for _ in range(self._threads):
            self._tasks.put(None)

    def _run(self) -> None:
        while (task := self._tasks.get()) is not None:
            try:
                task()
            except Exception:  # It must not end the thread.
                logger.exception(
                    "%s: call failed with an unexpected exception", self._name
                )
            finally:
                with self._lock:
                    self._running -= 1
