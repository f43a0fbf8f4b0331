"""Small fakes of the systems outside: platform, model engines and plain services.

Used by tests, the demo and the bench; each starts from the command line and takes orders
for faults over HTTP.
"""
