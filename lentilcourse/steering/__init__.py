"""Flow steering with the target as the authority on its flows.

Targets return packets of flows that they do not hold, so no flow directory is needed: the
flow records of balancers and agents are only hints, and the target detects a wrong one.
"""
