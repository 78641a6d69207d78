"""Request queues with fair sharing and deadlines, and retry budgets."""
