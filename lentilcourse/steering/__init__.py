"""Flow steering with the target as the authority on its flows.

A fabric whose targets return packets of flows that they do not hold needs no flow directory:
every record of a balancer or an agent is a hint, and a wrong one is settled by the target.
"""
